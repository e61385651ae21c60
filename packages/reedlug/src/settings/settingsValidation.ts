/**
 * Validation of the settings file.
 *
 * Rejects unknown keys, wrong types and wrong units. Lists every fault with its line and what is
 * expected there.
 */
import type { z } from 'zod';
import { parseLocatedYaml } from 'reedlug-gateway';
import { findConsistencyFaults } from './consistencyFaults.js';
import { settingsSchema } from './settingsSchema.js';
import type { Settings } from './settingsTypes.js';

/** A fault of a settings file. */
export interface SettingsFault {
  /** Line in the file, starting at 1; 0 if the line is unknown. */
  line: number;
  path: string;
  message: string;
}

/** The validated settings, or all faults. */
export type SettingsResult =
  { kind: 'valid'; settings: Settings } | { kind: 'invalid'; faults: SettingsFault[] };

/** Validates the text of a settings file. */
export function validateSettings(text: string): SettingsResult {
  const document = parseLocatedYaml(text);
  if (document.kind === 'faulty') {
    return { kind: 'invalid', faults: document.faults.map((fault) => ({ ...fault, path: '' })) };
  }
  const parsed = settingsSchema.safeParse(document.value);
  const locate = document.lineOf;
  if (!parsed.success) {
    return {
      kind: 'invalid',
      faults: parsed.error.issues.flatMap((issue) => faultsOf(issue, locate)),
    };
  }
  const faults = findConsistencyFaults(parsed.data).map(({ path, message }) => ({
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
      const message = 'unknown key; remove it or correct its name (see docs/settings.md)';
      return { line: locate(path), path: path.map(String).join('.'), message };
    });
  }
  const path = issue.path.map(String).join('.');
  return [{ line: locate(issue.path), path, message: issue.message }];
}
