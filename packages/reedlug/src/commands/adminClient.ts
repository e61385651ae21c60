/** HTTP client of the commands for operators. */
import { Command, Option } from 'clipanion';
import { request } from 'undici';

/** A command that calls the admin API of an entry box. */
export abstract class AdminCommand extends Command {
  entry = Option.String('--entry', {
    required: true,
    description: 'Address of an entry box, such as http://10.0.0.5:8080',
  });

  key = Option.String('--key', {
    env: 'REEDLUG_OPERATOR_KEY',
    required: true,
    description: 'Key of an operator; also from REEDLUG_OPERATOR_KEY',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  /** Sends a request to the entry box. Prints the error and returns undefined if it fails. */
  protected async ask<T>(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<{ status: number; value: T } | undefined> {
    try {
      const response = await request(`${this.entry}${path}`, {
        method,
        headers: { authorization: `Bearer ${this.key}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
      });
      const value = (await response.body.json()) as T & { error?: { message: string } };
      if (value.error !== undefined) {
        this.context.stderr.write(`${value.error.message}\n`);
        return undefined;
      }
      return { status: response.statusCode, value };
    } catch (error) {
      const { message } = error as Error;
      this.context.stderr.write(`cannot reach ${this.entry}: ${message}; is the box running?\n`);
      return undefined;
    }
  }

  /** Prints a value as JSON. */
  protected printJson(value: unknown): void {
    this.context.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
  }

  /** Prints lines. */
  protected printLines(lines: readonly string[]): void {
    this.context.stdout.write(`${lines.join('\n')}\n`);
  }
}
