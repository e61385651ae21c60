/** Validation of model requests: chat and text completions in the format of OpenAI's API. */
import { z } from 'zod';

/** The two kinds of model requests. */
export const ModelForm = { chat: 'chat', completion: 'completion' } as const;
export type ModelForm = (typeof ModelForm)[keyof typeof ModelForm];

/** A validated model request. */
export interface ModelRequest {
  form: ModelForm;
  model: string;
  prompt: string;
  /** Start of the prompt, which identifies a conversation that has no id. */
  opening: string;
  stream: boolean;
  maxTokens: number | undefined;
}

/** A validated request, or all faults of the body. */
export type ModelRequestResult =
  { kind: 'valid'; request: ModelRequest } | { kind: 'invalid'; faults: string[] };

const contentPart = z.looseObject({ type: z.string(), text: z.string().optional() });
const message = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(contentPart), z.null()]).optional(),
});
const maxTokens = z.number().int().positive().optional();
const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().optional(),
  max_tokens: maxTokens,
};
const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(message).min(1),
  max_completion_tokens: maxTokens,
});
const completionSchema = z.looseObject({ ...commonFields, prompt: z.string().min(1) });

/** Number of messages that make up the opening of a chat. */
const OPENING_MESSAGES = 2;
/** Number of characters that make up the opening of a text prompt. */
const OPENING_CHARACTERS = 2048;

/** Validates a body. */
export function parseModelRequest(form: ModelForm, body: Buffer): ModelRequestResult {
  const json = parseJson(body);
  if (json === undefined) {
    return {
      kind: 'invalid',
      faults: ['the body is not JSON; send an object as application/json'],
    };
  }
  switch (form) {
    case ModelForm.chat:
      return parseChat(json);
    case ModelForm.completion:
      return parseCompletion(json);
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

function parseChat(json: unknown): ModelRequestResult {
  const parsed = chatSchema.safeParse(json);
  if (!parsed.success) return invalid(parsed.error);
  const { model, stream, messages, max_tokens, max_completion_tokens } = parsed.data;
  const texts = messages.map((item) => `${item.role}: ${textOf(item.content)}\n`);
  return valid({
    form: ModelForm.chat,
    model,
    prompt: texts.join(''),
    opening: texts.slice(0, OPENING_MESSAGES).join(''),
    stream: stream ?? false,
    maxTokens: max_completion_tokens ?? max_tokens,
  });
}

function parseCompletion(json: unknown): ModelRequestResult {
  const parsed = completionSchema.safeParse(json);
  if (!parsed.success) return invalid(parsed.error);
  const { model, stream, prompt, max_tokens } = parsed.data;
  return valid({
    form: ModelForm.completion,
    model,
    prompt,
    opening: prompt.slice(0, OPENING_CHARACTERS),
    stream: stream ?? false,
    maxTokens: max_tokens,
  });
}

function textOf(content: z.infer<typeof message>['content']): string {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('');
}

function valid(request: ModelRequest): ModelRequestResult {
  return { kind: 'valid', request };
}

function invalid(error: z.ZodError): ModelRequestResult {
  const faults = error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`);
  return { kind: 'invalid', faults };
}
