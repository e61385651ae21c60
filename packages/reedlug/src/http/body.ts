/** Reads a request's body up to a limit. */
import type { IncomingMessage } from 'node:http';

/** The body of a request, or the reason why it could not be read. */
export type BodyResult =
  { kind: 'body'; body: Buffer } | { kind: 'tooLarge' } | { kind: 'aborted' };

/** Reads a body. Stops when more than `maxBytes` are declared or received. */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve({ kind: 'tooLarge' });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        request.pause();
        resolve({ kind: 'tooLarge' });
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => {
      const [only] = chunks;
      const body = chunks.length === 1 && only !== undefined ? only : Buffer.concat(chunks);
      resolve({ kind: 'body', body });
    });
    request.on('error', () => resolve({ kind: 'aborted' }));
    request.on('close', () => resolve({ kind: 'aborted' }));
  });
}
