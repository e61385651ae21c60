/** Extracts rows from an answer of the shared table. */
import type { TableAnswer, TableRow } from 'reedlug-coordination';

/** Returns the current rows; undefined when the answer leaves open what the call has done. */
export function rowsOf(answer: TableAnswer): readonly TableRow[] | undefined {
  switch (answer.kind) {
    case 'done':
      return answer.rows;
    case 'refused':
      return answer.reason === 'conflict' ? answer.rows : undefined;
    case 'unknown':
      return undefined;
  }
}
