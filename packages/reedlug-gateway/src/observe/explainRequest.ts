/** Collects the log lines of all boxes about one request and explains how the request ended. */

/** Parsed log line. */
export interface LogLine {
  time: string;
  event: string;
  fields: ReadonlyMap<string, string>;
}

/** Log lines of a request in order of time, and the cause of its outcome. */
export interface Explanation {
  lines: readonly LogLine[];
  cause: string;
}

/** Matches a key=value pair; a value with blanks is quoted as in JSON. */
const KEY_VALUE_PAIR = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Parses a line of key=value pairs; returns undefined if it has no time or event. */
export function parseLogLine(text: string): LogLine | undefined {
  const fields = new Map<string, string>();
  for (const [, key = '', raw = ''] of text.matchAll(KEY_VALUE_PAIR)) {
    fields.set(key, raw.startsWith('"') ? String(JSON.parse(raw)) : raw);
  }
  const time = fields.get('time');
  const event = fields.get('event');
  return time === undefined || event === undefined ? undefined : { time, event, fields };
}

/** Explains a request; returns undefined if no line mentions it. */
export function explainRequest(logText: string, requestId: string): Explanation | undefined {
  const lines = logText
    .split('\n')
    .filter((text) => text.includes(requestId))
    .map(parseLogLine)
    .filter((line) => line !== undefined)
    .filter((line) => line.fields.get('request') === requestId)
    .sort((a, b) => a.time.localeCompare(b.time));
  const last = lines.at(-1);
  return last === undefined ? undefined : { lines, cause: causeOf(last, lines) };
}

function causeOf(last: LogLine, lines: readonly LogLine[]): string {
  const field = (name: string): string => last.fields.get(name) ?? '?';
  const servers = lines
    .filter(({ event }) => event === 'requestSent')
    .map(({ fields }) => fields.get('server') ?? '?');
  const sentTo =
    servers.length === 0
      ? 'it was sent to no server'
      : `sent to ${servers.join(', ')}${describeSpeed(lines)}${describePlacement(lines)}${describeTakeUp(lines)}`;
  switch (last.event) {
    case 'requestFinished':
      return `answered with ${field('outcome')} after ${field('heldMs')} ms; ${sentTo}`;
    case 'requestRefused':
      return `refused with ${field('status')} (${field('reason')})${describeLimit(lines)}${describeShare(lines)}${describeUnknownVersion(lines)}; ${sentTo}`;
    case 'streamCut':
      return `cut after event ${field('lastEvent')} (${field('reason')}); ${sentTo}`;
    case 'callerGone':
      return `the caller left after ${field('heldMs')} ms; ${sentTo}`;
    default:
      return `no end is logged; the box may have been lost. ${sentTo}`;
  }
}

/** Describes the speed behind the last send's expected time; returns an empty text if it is 1. */
function describeSpeed(lines: readonly LogLine[]): string {
  const sent = lines.filter(({ event }) => event === 'requestSent').at(-1);
  const speed = sent?.fields.get('speed') ?? '1.00';
  if (speed === '1.00') return '';
  return ` at speed ${speed} (expected ${sent?.fields.get('expectedMs') ?? '?'} ms)`;
}

/**
 * Describes the workspace's standing that led to the refusal; returns an empty text without one.
 */
function describeShare(lines: readonly LogLine[]): string {
  const late = lines.find(({ event }) => event === 'requestTooLate');
  const standing = late?.fields.get('standing');
  if (late === undefined || standing === undefined) return '';
  const field = (name: string): string => late.fields.get(name) ?? '?';
  const yieldsTo = field('yieldsTo') === '' ? '' : `, yields to others (${field('yieldsTo')})`;
  return `: ${field('expectedMs')} ms expected, up to ${field('limitMs')} ms accepted, workspace ${standing} its share${yieldsTo}`;
}

/** Describes the limit that refused the request; returns an empty text if none did. */
function describeLimit(lines: readonly LogLine[]): string {
  const limit = lines.find(({ event }) => event === 'limitReached');
  if (limit === undefined) return '';
  const field = (name: string): string => limit.fields.get(name) ?? '?';
  const share = `: ${field('units')} units beside ${field('used')} of ${field('allowed')}`;
  if (!limit.fields.has('withheld')) return share;
  const reserved = lines.find(({ event }) => event === 'unitsReserved');
  const held = `${field('withheld')} withheld for ${field('reservedBefore')} reserved before it`;
  const outcome =
    reserved === undefined
      ? 'none reserved for it'
      : `reserved for its return in ${reserved.fields.get('dueInMs') ?? '?'} ms`;
  return `${share}, ${held}, ${field('announced')} announced elsewhere; ${outcome}`;
}

/** Describes the last choice by size; returns an empty text if there was none. */
function describePlacement(lines: readonly LogLine[]): string {
  const sent = lines.findLast(({ fields }) => fields.has('placement'));
  if (sent === undefined) return '';
  const field = (name: string): string => sent.fields.get(name) ?? '?';
  const needs =
    Number(field('neededSpeed')) > 0 ? `needs speed ${field('neededSpeed')}` : 'any speed';
  const wait = `expected ${field('waitMs')} of ${field('targetLeftMs')} ms`;
  return ` (placement ${field('placement')}: ${needs}, ${wait}, loads ${field('loadAgeMs')} ms old)`;
}

/** Describes at which version a stream that is taken up began; returns an empty text for other requests. */
function describeTakeUp(lines: readonly LogLine[]): string {
  const takenUp = lines.find(({ event }) => event === 'streamTakenUp');
  if (takenUp === undefined) return '';
  const field = (name: string): string => takenUp.fields.get(name) ?? '?';
  return `; takes up ${field('resumes')} after event ${field('lastEvent')}, version ${field('version')} as known from ${field('source')} for ${field('ageMs')} ms`;
}

/** Describes why a stream was refused whose version nobody knew; returns an empty text for other requests. */
function describeUnknownVersion(lines: readonly LogLine[]): string {
  const unknown = lines.find(({ event }) => event === 'streamVersionUnknown');
  if (unknown === undefined) return '';
  const field = (name: string): string => unknown.fields.get(name) ?? '?';
  return `: it may have begun at version ${field('versions').replaceAll(' ', ' or ')}, table ${field('table')}, ${field('unanswered')} boxes silent`;
}
