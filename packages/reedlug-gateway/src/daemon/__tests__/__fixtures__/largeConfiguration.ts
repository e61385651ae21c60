/** Test fixture: a configuration of many routes. */
import { createHash } from 'node:crypto';
import { configuration, route } from '../../../__tests__/__fixtures__/box.js';
import type { Configuration } from '../../../types/configuration.js';

/** Returns a configuration whose routes differ in name, host, path, times and targets, as those of an operator do. */
export function largeConfiguration(version: number, routes: number): Configuration {
  const base = configuration({ version });
  const added = Array.from({ length: routes - base.routes.length }, (_, index) => {
    const word = createHash('sha256').update(String(index)).digest('hex');
    return route({
      name: `route-${word.slice(0, 12)}`,
      host: `${word.slice(12, 20)}.bench.example`,
      pathPrefix: `/${word.slice(20, 28)}/v${index % 7}/`,
      timeoutMs: 600 + (index % 90) * 100,
      targetMs: 100 + (index % 40) * 25,
      priority: index % 3,
      targets: [
        { service: 'records', weight: 1 + (index % 5) },
        { service: 'engines', weight: 9 - (index % 5) },
      ],
    });
  });
  return { ...base, routes: [...base.routes, ...added] };
}
