/** Reads a settings file and the files that it names. */
import { readFile } from 'node:fs/promises';
import type { Settings } from './settingsTypes.js';
import { validateSettings, type SettingsFault } from './settingsValidation.js';

/** A read file: its settings, or why there are none. */
export type SettingsFileResult =
  | { kind: 'valid'; settings: Settings }
  | { kind: 'invalid'; faults: readonly SettingsFault[] }
  | { kind: 'unreadable'; message: string };

/** Reads and checks a settings file. */
export async function readSettingsFile(path: string): Promise<SettingsFileResult> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (error) {
    return { kind: 'unreadable', message: `cannot read ${path}: ${(error as Error).message}` };
  }
  return validateSettings(text);
}

/** One line for each fault: file, line, path, what would be right. */
export function faultLines(path: string, faults: readonly SettingsFault[]): string[] {
  return faults.map((fault) => {
    const location = fault.path === '' ? '' : ` ${fault.path}:`;
    return `${path}:${fault.line}:${location} ${fault.message}`;
  });
}
