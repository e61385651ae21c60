/** Requests of tests of the HTTP API, and what their answers hold. */
import { hashString } from 'reedlug-coordination';
import { answerText } from 'reedlug-standins';

/** Model that the cluster of the tests serves. */
export const MODEL = 'report-draft';

/** Returns the body of a chat request. */
export function draft(maxTokens: number, content: string) {
  return { model: MODEL, max_tokens: maxTokens, messages: [{ role: 'user', content }] };
}

/** Returns the text with which the stand-in of a model answers. */
export function expectedText(content: string, maxTokens: number): string {
  return answerText(String(hashString(`user: ${content}\n`)), maxTokens);
}

/** Returns the text of a chat answer. */
export function contentOf(json: Record<string, unknown>): string {
  const [choice] = json['choices'] as { message: { content: string } }[];
  return choice?.message.content ?? '';
}

/** Returns the body of a service call, by whose name its runs are counted. */
export function refOf(name: string): { ref: string } {
  return { ref: name };
}
