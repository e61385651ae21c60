/**
 * Demo: streams a draft and looks up a record through a `dev` cluster, and reclaims a zone during
 * the stream. Exits with 0 if both answers are complete.
 */
import { request } from 'undici';
import { answerText } from 'reedlug-standins';
import { hashString } from 'reedlug-coordination';
import { startDevCluster, type DevCluster } from './dev/devCluster.js';
import type { DevBox } from './dev/devMembers.js';
import { createLogger } from 'reedlug-gateway';
import { createSseParser } from './backends/sseParser.js';
import { readSettingsFile } from './settings/settingsFile.js';

const MAX_TOKENS = 160;
const TOKENS_BEFORE_RECLAIM = 40;
const NOTICE_MS = 1500;
const PROMPT = 'Draft the conformance report of meter batch 7.';

/** Result of the demo. */
interface DemoResult {
  isDraftComplete: boolean;
  isLookUpComplete: boolean;
}

/** Runs the demo with a settings file. Resolves with the exit code. */
export async function runDemo(
  settingsPath: string,
  print: (line: string) => void,
): Promise<number> {
  const read = await readSettingsFile(settingsPath);
  if (read.kind !== 'valid') {
    print(`${settingsPath} is not valid; run reedlug settings check ${settingsPath}`);
    return 1;
  }
  const logger = createLogger({}, (line) => {
    if (/faultThrown|serverEvacuated|state=leaving/.test(line)) print(line);
  });
  const cluster = await startDevCluster(read.settings, logger);
  try {
    const result = await runCalls(cluster, print);
    print(`draft whole: ${result.isDraftComplete}; look-up whole: ${result.isLookUpComplete}`);
    return result.isDraftComplete && result.isLookUpComplete ? 0 : 1;
  } finally {
    await cluster.close();
  }
}

async function runCalls(cluster: DevCluster, print: (line: string) => void): Promise<DemoResult> {
  const [box] = cluster.boxes;
  if (box === undefined) return { isDraftComplete: false, isLookUpComplete: false };
  const draft = await streamDraft(cluster, box, async () => {
    const zone = runningZone(cluster, box);
    print(`reclaiming ${zone} with ${NOTICE_MS} ms notice, in mid-stream`);
    await cluster.injectFault({ kind: 'reclaimZone', zone, noticeMs: NOTICE_MS });
  });
  const lookUp = await lookUpSample(cluster, box);
  print(`draft: ${draft.text.slice(0, 60)}… (${draft.tokens} tokens, done: ${draft.done})`);
  print(`look-up: ${lookUp}`);
  const expected = answerText(String(hashString(`user: ${PROMPT}\n`)), MAX_TOKENS);
  return {
    isDraftComplete: draft.done && draft.text === expected,
    isLookUpComplete: lookUp.includes('"registered"'),
  };
}

/** Returns the zone of the engine that runs the draft. */
function runningZone(cluster: DevCluster, box: DevBox): string {
  for (const view of box.daemon.state.servers.values()) {
    if (view.openAttempts.size > 0) return view.spec.zone;
  }
  return cluster.settings.zones[0]?.name ?? '';
}

interface Draft {
  text: string;
  tokens: number;
  done: boolean;
}

async function streamDraft(
  cluster: DevCluster,
  box: DevBox,
  onReclaimPoint: () => Promise<void>,
): Promise<Draft> {
  const response = await request(`${box.address}/v1/chat/completions`, {
    method: 'POST',
    headers: headersOf(cluster),
    body: JSON.stringify({
      model: cluster.settings.engines[0]?.model,
      messages: [{ role: 'user', content: PROMPT }],
      max_tokens: MAX_TOKENS,
      stream: true,
    }),
  });
  const draft: Draft = { text: '', tokens: 0, done: false };
  const parser = createSseParser();
  let reclaimed = false;
  for await (const chunk of response.body) {
    parser.push(String(chunk), (data) => applyEvent(draft, data));
    if (reclaimed || draft.tokens < TOKENS_BEFORE_RECLAIM) continue;
    reclaimed = true;
    await onReclaimPoint();
  }
  return draft;
}

function applyEvent(draft: Draft, data: string): void {
  if (data === '[DONE]') {
    draft.done = true;
    return;
  }
  const event = JSON.parse(data) as { choices?: { delta?: { content?: string } }[] };
  const content = event.choices?.[0]?.delta?.content;
  if (content === undefined) return;
  draft.text += content;
  draft.tokens += 1;
}

async function lookUpSample(cluster: DevCluster, box: DevBox): Promise<string> {
  const service = cluster.settings.services[0]?.service;
  const response = await request(`${box.address}/v1/services/${service}/samples/7`, {
    headers: headersOf(cluster),
  });
  return response.body.text();
}

function headersOf(cluster: DevCluster): Record<string, string> {
  return { authorization: `Bearer ${cluster.key}`, 'content-type': 'application/json' };
}
