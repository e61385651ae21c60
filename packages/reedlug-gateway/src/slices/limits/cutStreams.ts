/**
 * Units that a box keeps after its start for the streams that its earlier life was relaying: their callers come back
 * after new requests have arrived for most of a second, which would have used all units by then.
 */
import type { GatewayState } from '../../state.js';
import type { WorkspaceSpec } from '../../types/configuration.js';
import { quotaOf } from './quotas.js';

/** Time after the start of a box within which callers come back with the streams that its loss has cut, in ms. */
const EXPECTED_AFTER_START_MS = 1500;

/** Whether a box that has just started still expects the streams of its earlier life. */
export function expectsCutStreams({ startedAtMs }: GatewayState, nowMs: number): boolean {
  return nowMs - startedAtMs < EXPECTED_AFTER_START_MS;
}

/** Returns the units of this box that are kept for streams that its earlier life was relaying and that were not taken up here. */
export function unitsForCutStreams(
  state: GatewayState,
  workspace: WorkspaceSpec,
  nowMs: number,
): number {
  const { cutStreams } = state.streamVersions;
  if (cutStreams.length === 0 || !expectsCutStreams(state, nowMs)) return 0;
  const prefix = `${workspace.name}/`;
  let units = -quotaOf(state, workspace, nowMs).begunCharged;
  for (const cut of cutStreams) if (cut.key.startsWith(prefix)) units += cut.units;
  return Math.max(0, units);
}
