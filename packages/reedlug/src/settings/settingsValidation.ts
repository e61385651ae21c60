/**
 * Validation of the settings file.
 *
 * Unknown keys, wrong types and wrong units are refused; every fault is listed
 * with its line and what would be right.
 */
import { LineCounter, parseDocument, isNode, type Document } from 'yaml';
import type { z } from 'zod';
import { crossFaults } from './crossFaults.js';
import { settingsSchema } from './settingsSchema.js';
import type { Settings } from './settingsTypes.js';

/** A fault of a settings file. */
export interface SettingsFault {
  /** Line in the file, from 1; 0 when it is not known. */
  line: number;
  path: string;
  message: string;
}

/** The checked settings, or every fault. */
export type SettingsResult =
  { kind: 'valid'; settings: Settings } | { kind: 'invalid'; faults: SettingsFault[] };

/** Checks the text of a settings file. */
export function validateSettings(text: string): SettingsResult {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  if (document.errors.length > 0) {
    const faults = document.errors.map((error) => ({
      line: error.linePos?.[0].line ?? 0,
      path: '',
      message: error.message.split('\n')[0] ?? error.message,
    }));
    return { kind: 'invalid', faults };
  }
  const parsed = settingsSchema.safeParse(document.toJS());
  const locate = (path: readonly PropertyKey[]): number => lineOf(document, lines, path);
  if (!parsed.success) {
    return {
      kind: 'invalid',
      faults: parsed.error.issues.flatMap((issue) => faultsOf(issue, locate)),
    };
  }
  const faults = crossFaults(parsed.data).map(({ path, message }) => ({
    line: locate(path),
    path: path.join('.'),
    message,
  }));
  if (faults.length > 0) return { kind: 'invalid', faults };
  return { kind: 'valid', settings: parsed.data };
}

function faultsOf(
  issue: z.core.$ZodIssue,
  locate: (path: readonly PropertyKey[]) => number,
): SettingsFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      const message = 'unknown key; remove it or mend its name (see docs/settings.md)';
      return { line: locate(path), path: path.map(String).join('.'), message };
    });
  }
  const path = issue.path.map(String).join('.');
  return [{ line: locate(issue.path), path, message: issue.message }];
}

function lineOf(
  document: Document.Parsed,
  lines: LineCounter,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}
