/** Validation of an intent document from YAML or JSON. Times must state their time zone. */
import { z } from 'zod';
import type { Intent } from 'reedlug-decisions';

/** A validated intent, or all faults of the document. */
export type IntentResult =
  { kind: 'valid'; intent: Intent } | { kind: 'invalid'; faults: string[] };

/** A point in time with its UTC offset, such as 2026-12-02T20:00:00+07:00. */
const pointInTime = z
  .string()
  .refine((text) => /(Z|[+-]\d{2}:\d{2})$/.test(text), 'must state its time zone, such as +07:00')
  .refine(
    (text) => !Number.isNaN(Date.parse(text)),
    'must be a time such as 2026-12-02T20:00:00+07:00',
  )
  .transform((text) => Date.parse(text));

const limitFields = {
  requestsPerSecond: z.number(),
  burst: z.number(),
  maxQueued: z.number().default(500),
};
const requestClass = z.enum(['urgent', 'patient']);

const intentSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('createWorkspace'),
    workspaceId: z.string(),
    keySha256: z.string(),
    ...limitFields,
  }),
  z.strictObject({ kind: z.literal('setLimits'), workspaceId: z.string(), ...limitFields }),
  z.strictObject({
    kind: z.literal('createService'),
    service: z.string(),
    deduplicates: z.boolean().default(false),
  }),
  z.strictObject({ kind: z.literal('setPriority'), workspaceId: z.string(), requestClass }),
  z.strictObject({
    kind: z.literal('movePool'),
    model: z.string(),
    toSite: z.string(),
    starts: pointInTime,
    ends: pointInTime,
    steps: z.number().default(10),
  }),
  z.strictObject({
    kind: z.literal('keepOffReclaimable'),
    requestClass,
    starts: pointInTime,
    ends: pointInTime,
  }),
  z.strictObject({ kind: z.literal('haltMove'), model: z.string(), atShare: z.number() }),
  z.strictObject({
    kind: z.literal('setEngine'),
    serverId: z.string(),
    wanted: z.strictObject({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()).default([]),
      role: z.enum(['serve', 'drain']).default('serve'),
    }),
  }),
]);

/** Validates an intent document. */
export function parseIntent(document: unknown): IntentResult {
  const parsed = intentSchema.safeParse(document);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(
      (issue) => `${issue.path.join('.') || 'intent'}: ${issue.message}`,
    );
    return { kind: 'invalid', faults };
  }
  return { kind: 'valid', intent: toIntent(parsed.data) };
}

function toIntent(data: z.infer<typeof intentSchema>): Intent {
  switch (data.kind) {
    case 'movePool':
    case 'keepOffReclaimable': {
      const { starts, ends, ...rest } = data;
      return { ...rest, startsAtEpochMs: starts, endsAtEpochMs: ends };
    }
    case 'createWorkspace':
    case 'setLimits':
    case 'createService':
    case 'setPriority':
    case 'setEngine':
    case 'haltMove':
      return data;
  }
}
