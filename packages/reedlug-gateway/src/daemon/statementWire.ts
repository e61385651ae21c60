/**
 * Statements of servers as rows of a datagram.
 *
 * A tenth of thousands of servers may say something at once, so rows carry no names. A row
 * that is none, as of another version, is left out.
 */
import { isFiniteNumber, isFiniteNumberOrNull } from '../slices/rowValues.js';
import type {
  ServerStatement,
  ServerStatementsMessage,
  IncarnationStatement,
} from '../types/serverStatement.js';

/** The kind under which boxes of all versions know the datagram. */
export const STATEMENTS_WIRE_KIND = 'serverFacts';

/** Server, start of its life, requests a second, and how long ago it was asked and said. */
type LimitRow = readonly [string, number | null, number | null, number, number];
/**
 * Server, start of its life, how much longer it rests, and how long ago that was asked, probed and served;
 * boxes of the version before tell the first three alone.
 */
type PauseRow = readonly [
  string,
  number | null,
  number,
  number?,
  (number | null)?,
  (number | null)?,
];

/** A server that leaves, and start of its life. */
type DrainingRow = readonly [string, number | null];

/** A server that refused, start of its life, and how long ago that was. */
type RefusalRow = readonly [string, number | null, number];

/** The datagram's value. */
export interface StatementRows {
  kind: typeof STATEMENTS_WIRE_KIND;
  boxId: string;
  limits: readonly LimitRow[];
  pauses: readonly PauseRow[];
  /** Boxes of the version before neither send nor read it. */
  leaving: readonly DrainingRow[];
  refusals: readonly RefusalRow[];
}

/** The rows of a message. */
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

/** The message of a datagram's value; undefined when it is none. */
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
