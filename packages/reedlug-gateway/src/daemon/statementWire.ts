/**
 * Encoding of server statements as rows of a datagram.
 *
 * Of thousands of servers, a tenth may make a statement at the same time, so rows contain no field
 * names. A malformed row, such as one of another version, is skipped.
 */
import { isFiniteNumber, isFiniteNumberOrNull } from '../slices/store/rowValues.js';
import type {
  ServerStatement,
  ServerStatementsMessage,
  IncarnationStatement,
} from '../types/serverStatement.js';

/** Kind of the datagram on the wire, the same in all versions. */
export const STATEMENTS_WIRE_KIND = 'serverFacts';

/** Server, its start time, requests per second, and the time since the request was sent and the answer received. */
type LimitRow = readonly [string, number | null, number | null, number, number];
/**
 * Server, its start time, the time left of its pause, and the time since the server asked for the pause, was
 * probed, and served a request. Older boxes send only the first three values.
 */
type PauseRow = readonly [
  string,
  number | null,
  number,
  number?,
  (number | null)?,
  (number | null)?,
];

/** Draining server and its start time. */
type DrainingRow = readonly [string, number | null];

/** Server that refused a request, its start time, and the time since the refusal. */
type RefusalRow = readonly [string, number | null, number];

/** Content of the datagram. */
export interface StatementRows {
  kind: typeof STATEMENTS_WIRE_KIND;
  boxId: string;
  limits: readonly LimitRow[];
  pauses: readonly PauseRow[];
  /** Draining servers; older boxes neither send nor read this field. */
  leaving: readonly DrainingRow[];
  refusals: readonly RefusalRow[];
}

/** Encodes a message as rows. */
export function statementRows({ boxId, statements }: ServerStatementsMessage): StatementRows {
  const limits: LimitRow[] = [];
  const pauses: PauseRow[] = [];
  const leaving: DrainingRow[] = [];
  const refusals: RefusalRow[] = [];
  for (const { serverId, bornAtMs = null, statement } of statements) {
    switch (statement.kind) {
      case 'limit': {
        const { perSecond = null, sentAgeMs, receivedAgeMs } = statement;
        limits.push([serverId, bornAtMs, perSecond, sentAgeMs, receivedAgeMs]);
        break;
      }
      case 'rest': {
        const { leftMs, askedAgeMs, probeAgeMs = null, servedAgeMs = null } = statement;
        pauses.push([serverId, bornAtMs, leftMs, askedAgeMs, probeAgeMs, servedAgeMs]);
        break;
      }
      case 'refusal':
        refusals.push([serverId, bornAtMs, statement.ageMs]);
        break;
      case 'leaving':
        leaving.push([serverId, bornAtMs]);
        break;
    }
  }
  return { kind: STATEMENTS_WIRE_KIND, boxId, limits, pauses, leaving, refusals };
}

/** Decodes a message from rows; returns undefined if the value is malformed. */
export function statementsOfRows(
  value: Readonly<Record<string, unknown>>,
): ServerStatementsMessage | undefined {
  const { boxId, limits, pauses, leaving = [], refusals = [] } = value;
  if (typeof boxId !== 'string') return undefined;
  if (!Array.isArray(limits) || !Array.isArray(pauses) || !Array.isArray(leaving)) return undefined;
  if (!Array.isArray(refusals)) return undefined;
  const statements = [
    ...limits.flatMap((row) => readRow(row, limitOf)),
    ...pauses.flatMap((row) => readRow(row, pauseOf)),
    ...refusals.flatMap((row) => readRow(row, refusalOf)),
    ...leaving.flatMap((row) => readRow(row, () => ({ kind: 'leaving' }))),
  ];
  return { kind: 'serverStatements', boxId, statements };
}

function readRow(
  row: unknown,
  statementOf: (values: readonly unknown[]) => ServerStatement | undefined,
): IncarnationStatement[] {
  if (!Array.isArray(row)) return [];
  const [serverId, bornAtMs, ...values] = row as unknown[];
  if (typeof serverId !== 'string' || !isFiniteNumberOrNull(bornAtMs)) return [];
  const statement = statementOf(values);
  return statement === undefined ? [] : [{ serverId, bornAtMs: bornAtMs ?? undefined, statement }];
}

function limitOf([perSecond, sentAgeMs, receivedAgeMs]: readonly unknown[]):
  ServerStatement | undefined {
  if (!isFiniteNumberOrNull(perSecond) || (perSecond ?? 0) < 0) return undefined;
  if (!isFiniteNumber(sentAgeMs) || !isFiniteNumber(receivedAgeMs)) return undefined;
  return { kind: 'limit', perSecond: perSecond ?? undefined, sentAgeMs, receivedAgeMs };
}

function refusalOf([ageMs]: readonly unknown[]): ServerStatement | undefined {
  return isFiniteNumber(ageMs) ? { kind: 'refusal', ageMs } : undefined;
}

function pauseOf(values: readonly unknown[]): ServerStatement | undefined {
  const [leftMs, askedAgeMs = 0, probeAgeMs = null, servedAgeMs = null] = values;
  if (!isFiniteNumber(leftMs) || !isFiniteNumber(askedAgeMs)) return undefined;
  if (!isFiniteNumberOrNull(probeAgeMs) || !isFiniteNumberOrNull(servedAgeMs)) return undefined;
  return {
    kind: 'rest',
    leftMs,
    askedAgeMs,
    probeAgeMs: probeAgeMs ?? undefined,
    servedAgeMs: servedAgeMs ?? undefined,
  };
}
