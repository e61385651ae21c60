/** Checks a settings file that has changed while the box runs. */
import { readFile } from 'node:fs/promises';
import type { Logger } from '../observe/logger.js';
import { validateGatewaySettings } from '../settings/gatewaySettingsValidation.js';

/**
 * Validates the file and logs the result; a running process keeps the settings that it started
 * with. A file that cannot be read, for example while it is being replaced, is logged as well.
 */
export async function recheckSettings(path: string, logger: Logger): Promise<void> {
  const faults = await faultsOf(path);
  logger('settingsReread', { valid: faults === '', faults });
}

async function faultsOf(path: string): Promise<string> {
  try {
    const result = validateGatewaySettings(await readFile(path, 'utf8'));
    return result.kind === 'invalid' ? result.faults.join('; ') : '';
  } catch (error) {
    return `cannot be read: ${(error as Error).message}`;
  }
}
