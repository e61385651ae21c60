/** Generates requests: their facts, prompt parts and lengths. */
import type { PromptPart, RequestFacts } from 'reedlug-gateway';
import type { Random } from 'reedlug-standins';
import type { Scene, SceneClass, SizeSpec } from '../scene/scene.js';

/** Host of every route of a scene. */
export const SCENE_HOST = 'scene.example';

/** Returns the path prefix of a class of requests. */
export function pathOf(className: string): string {
  return `/${className}/`;
}

/** Returns the API key of a workspace. */
export function keyOf(workspace: string): string {
  return `key-of-${workspace}`;
}

/** Returns the name of the workspace with an index from 0. */
export function workspaceName(index: number): string {
  return `workspace-${index + 1}`;
}

/** Returns each workspace's share of the load, by Zipf's law with the scene's exponent. */
export function workspaceShares({ count, skew = 1 }: Scene['workspaces']): number[] {
  const weights = Array.from({ length: count }, (_, index) => 1 / (index + 1) ** skew);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight) => weight / total);
}

/** Generates a log-normal size with the given mean and the given spread of its logarithm. */
export function generateSize(random: Random, { mean, spread }: SizeSpec): number {
  return random.logNormal(mean * Math.exp(-(spread ** 2) / 2), spread);
}

/**
 * Lengths, in tokens, of the prompt parts that requests of a class share, by class; the same in
 * every run of a seed.
 */
export type SharedParts = Map<string, readonly (readonly number[])[]>;

/** Generates the shared prompt parts of a scene. */
export function generateSharedParts(scene: Scene, random: Random): SharedParts {
  const lengthsByClass: SharedParts = new Map();
  for (const { name, sharedParts } of scene.classes) {
    lengthsByClass.set(
      name,
      sharedParts.map(({ tokens, things }) =>
        Array.from({ length: things }, () => toTokenCount(generateSize(random, tokens))),
      ),
    );
  }
  return lengthsByClass;
}

function toTokenCount(size: number): number {
  return Math.max(1, Math.round(size));
}

/** A generated request: its facts, the work of a plain request in ms, and the number of events. */
export interface GeneratedRequest {
  facts: RequestFacts;
  workMs: number;
  events: number;
}

/** Generates one request of a class. */
export function generateRequest(
  scene: Scene,
  random: Random,
  params: { spec: SceneClass; shared: SharedParts; workspace: string; number: number },
): GeneratedRequest {
  const { spec, shared, workspace, number } = params;
  const parts = generatePromptParts(random, spec, shared.get(spec.name) ?? [], number);
  const events = spec.events === undefined ? 1 : toTokenCount(generateSize(random, spec.events));
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  const isStream = spec.kind === 'stream';
  return {
    facts: {
      requestId: `request-${number}`,
      host: SCENE_HOST,
      path: `${pathOf(spec.name)}1`,
      key: keyOf(workspace),
      deadlineMs: spec.deadlineMs,
      promptTokens: isStream ? promptTokens : undefined,
      maxOutputTokens: isStream ? events * tokensPerEvent(scene, spec) : undefined,
      promptParts: parts,
      lastEventId: undefined,
      digest: digestOf(random, spec, number),
    },
    workMs: spec.workMs === undefined ? 0 : generateSize(random, spec.workMs),
    events,
  };
}

/** Returns the digest of a request's body; requests of a class with few bodies share digests. */
function digestOf(random: Random, { name, bodies }: SceneClass, number: number): string {
  return bodies === undefined ? `digest-${number}` : `${name}-${random.whole(1, bodies)}`;
}

function tokensPerEvent(scene: Scene, spec: SceneClass): number {
  const service = scene.services.find(({ name }) => name === spec.service);
  return service?.kind === 'engines' ? service.engine.tokensPerEvent : 1;
}

/**
 * Returns the prompt's parts. Each variant of a shared part follows one fixed variant of the part
 * before it, as subjects belong to a template.
 */
function generatePromptParts(
  random: Random,
  spec: SceneClass,
  shared: readonly (readonly number[])[],
  number: number,
): PromptPart[] {
  if (spec.ownTokens === undefined) return [];
  const parts: PromptPart[] = [];
  let variant = random.whole(0, Math.max(1, shared.at(-1)?.length ?? 1) - 1);
  for (let level = shared.length - 1; level >= 0; level -= 1) {
    const lengths = shared[level] ?? [];
    variant %= Math.max(1, lengths.length);
    parts.unshift({ id: `${spec.name}-${level}-${variant}`, tokens: lengths[variant] ?? 1 });
  }
  const tokens = toTokenCount(generateSize(random, spec.ownTokens));
  return [...parts, { id: `own-${number}`, tokens }];
}

/** Weight of an output token, in prompt tokens: an engine takes several times as long for it. */
const OUTPUT_TOKEN_WORK = 5;

/** Returns the work of a stream request in prompt tokens; 0 for plain requests. */
export function workOf({ promptTokens, maxOutputTokens }: RequestFacts): number {
  return promptTokens === undefined ? 0 : promptTokens + OUTPUT_TOKEN_WORK * (maxOutputTokens ?? 0);
}

/** Returns the limit units that a request of the scene needs on average. */
export function meanUnits(scene: Scene): number {
  let weights = 0;
  let units = 0;
  for (const spec of scene.classes) {
    weights += spec.weight;
    units += spec.weight * unitsOf(scene, spec);
  }
  return units / weights;
}

function unitsOf(scene: Scene, spec: SceneClass): number {
  if (spec.kind !== 'stream') return scene.workspaces.plainTokens;
  const shared = spec.sharedParts.reduce((sum, { tokens }) => sum + tokens.mean, 0);
  const out = (spec.events?.mean ?? 0) * tokensPerEvent(scene, spec);
  return shared + (spec.ownTokens?.mean ?? 0) + out;
}
