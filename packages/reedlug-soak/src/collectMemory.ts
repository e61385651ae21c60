/** Collection of memory at a given moment, as Node.js does it by itself at any other. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Collects the memory of this process. */
export function collectMemory(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}
