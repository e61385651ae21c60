/** Structured logs: writes each event as one line of key=value pairs by way of roarr. */
import './enableRoarr.js';
import { ROARR, Roarr } from 'roarr';

/** Value of a log field. */
export type LogValue = string | number | boolean;

/** Writes one event. */
export type Logger = (event: string, fields: Readonly<Record<string, LogValue>>) => void;

/** Creates a logger on top of roarr that writes each line with `writeLine`. */
export function createLogger(
  context: Readonly<Record<string, LogValue>>,
  writeLine: (line: string) => void,
): Logger {
  ROARR.write = (message) => writeLine(lineOf(JSON.parse(message) as RoarrMessage));
  const child = Roarr.child(context);
  return (event, fields) => child(fields, event);
}

interface RoarrMessage {
  context: Record<string, LogValue>;
  message: string;
  time: number;
}

function lineOf({ context, message, time }: RoarrMessage): string {
  const pairs = [`time=${new Date(time).toISOString()}`, `event=${message}`];
  for (const [key, value] of Object.entries(context)) pairs.push(`${key}=${quoted(value)}`);
  return pairs.join(' ');
}

/** Characters that JSON leaves as they are, but that a terminal or a reader of lines may act on. */
const UNESCAPED_CONTROLS = /[\u007f-\u009f\u2028\u2029]/g;

/** Quotes a value as JSON if it is empty or contains blanks, quotes, equals signs or control characters. */
export function quoted(value: LogValue): string {
  const text = String(value);
  if (/^[^\s"=\p{Cc}]+$/u.test(text)) return text;
  return JSON.stringify(text).replace(UNESCAPED_CONTROLS, escapeOf);
}

function escapeOf(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`;
}
