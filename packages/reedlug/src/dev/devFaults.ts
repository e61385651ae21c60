/** Faults that `reedlug dev` can inject, and their validation. */
import { z } from 'zod';

const on = z.boolean().default(true);
const durationMs = z.number().nonnegative();

/** Schema of the faults that can be injected. */
export const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('reclaimZone'), zone: z.string(), noticeMs: durationMs }),
  z.strictObject({ kind: z.literal('reclaimServer'), server: z.string(), noticeMs: durationMs }),
  z.strictObject({ kind: z.literal('killServer'), server: z.string() }),
  z.strictObject({ kind: z.literal('stallServer'), server: z.string(), forMs: durationMs }),
  z.strictObject({ kind: z.literal('refuseStarts'), on }),
  z.strictObject({ kind: z.literal('tableDown'), on }),
  z.strictObject({ kind: z.literal('tableSlow'), byMs: durationMs }),
  z.strictObject({ kind: z.literal('loseAnswers'), count: z.number().int().nonnegative() }),
  z.strictObject({ kind: z.literal('cutPlatform'), zone: z.string(), on }),
  z.strictObject({ kind: z.literal('cutZones'), zones: z.tuple([z.string(), z.string()]), on }),
  z.strictObject({ kind: z.literal('stopBox'), box: z.string() }),
  z.strictObject({ kind: z.literal('killBox'), box: z.string() }),
  z.strictObject({ kind: z.literal('reclaimBox'), box: z.string(), noticeMs: durationMs }),
]);

/** A fault to inject, or with `on: false` to end. */
export type DevFault = z.infer<typeof faultSchema>;

/** Validates a fault. Returns the fault, or the reasons why it is invalid. */
export function parseFault(value: unknown): { fault: DevFault } | { faults: string[] } {
  const parsed = faultSchema.safeParse(value);
  if (parsed.success) return { fault: parsed.data };
  return {
    faults: parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`),
  };
}
