/** Whether the head of a server's answer can be passed on to the caller. */
import { validateHeaderName, validateHeaderValue } from 'node:http';

/** Bounds of final statuses; an interim answer (1xx) is not passed on. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** Head of an answer as it was received; the headers are a flat list of names and values. */
export interface ReceivedHead {
  status: number;
  statusText: string;
  rawHeaders: readonly string[];
}

/** Returns what is wrong with a head; undefined if it can be passed on. */
export function faultOfAnswerHead({
  status,
  statusText,
  rawHeaders,
}: ReceivedHead): string | undefined {
  if (!(status >= MIN_STATUS && status <= MAX_STATUS)) return 'status';
  if (!isText(statusText)) return 'reasonPhrase';
  const isPair = (text: string, index: number): boolean =>
    index % 2 === 0 ? isName(text) : isText(text);
  return rawHeaders.every(isPair) ? undefined : 'header';
}

function isName(text: string): boolean {
  return holds(() => validateHeaderName(text));
}

/** A reason phrase may hold what a value may. */
function isText(text: string): boolean {
  return holds(() => validateHeaderValue('value', text));
}

function holds(validate: () => void): boolean {
  try {
    validate();
    return true;
  } catch {
    // Node states a malformed name or value by an error.
    return false;
  }
}
