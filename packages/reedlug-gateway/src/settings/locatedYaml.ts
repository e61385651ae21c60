/** Parses YAML together with the line numbers of its fields, for validations that report where a fault is. */
import { isNode, LineCounter, parseDocument } from 'yaml';

/** Parsed value with a line lookup, or the syntax errors of the text. */
export type LocatedYaml =
  | {
      kind: 'parsed';
      value: unknown;
      /** Returns the line of a field, counted from 1; for a missing field that of its nearest existing parent. */
      lineOf: (path: readonly PropertyKey[]) => number;
    }
  | { kind: 'faulty'; faults: { line: number; message: string }[] };

/** Parses YAML text. */
export function parseLocatedYaml(text: string): LocatedYaml {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  if (document.errors.length > 0) {
    const faults = document.errors.map(({ message, pos }) => ({
      line: lines.linePos(pos[0]).line,
      message: message.split('\n')[0] ?? message,
    }));
    return { kind: 'faulty', faults };
  }
  const lineOf = (path: readonly PropertyKey[]): number => {
    for (let length = path.length; length > 0; length -= 1) {
      const node = document.getIn(path.slice(0, length), true);
      if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
    }
    return 1;
  };
  return { kind: 'parsed', value: document.toJS(), lineOf };
}
