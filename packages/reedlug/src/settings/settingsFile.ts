/** Reads a settings file. */
import { readFile } from 'node:fs/promises';
import type { Settings } from './settingsTypes.js';
import { validateSettings, type SettingsFault } from './settingsValidation.js';

/** The settings of a file, or the reason why it cannot be used. */
export type SettingsFileResult =
  | { kind: 'valid'; settings: Settings }
  | { kind: 'invalid'; faults: readonly SettingsFault[] }
  | { kind: 'unreadable'; message: string };

/** Reads and validates a settings file. */
export async function readSettingsFile(path: string): Promise<SettingsFileResult> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (error) {
    return { kind: 'unreadable', message: `cannot read ${path}: ${(error as Error).message}` };
  }
  return validateSettings(text);
}

/** Returns one line for each fault: file, line, path and what is expected there. */
export function faultLines(path: string, faults: readonly SettingsFault[]): string[] {
  return faults.map((fault) => {
    const location = fault.path === '' ? '' : ` ${fault.path}:`;
    return `${path}:${fault.line}:${location} ${fault.message}`;
  });
}
