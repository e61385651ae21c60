/** Adapts the settings of a settings file to run on loopback. */
import { randomBytes } from 'node:crypto';
import { findFreePorts } from 'reedlug-standins';
import { hashKey } from '../http/keys.js';
import type { Settings } from '../settings/settingsTypes.js';

const KEY_BYTES = 12;

/** Returns the settings with loopback addresses, new keys and a new peer secret. */
export async function toLoopbackSettings(
  given: Settings,
  platformUrl: string,
): Promise<{ settings: Settings; workspaceKeys: Map<string, string>; operatorKey: string }> {
  const ports = await findFreePorts(given.boxes.length * 2);
  const workspaceKeys = new Map(given.workspaces.map(({ id }) => [id, generateKey()]));
  const operatorKey = generateKey();
  const settings: Settings = {
    ...given,
    peerSecret: generateKey() + generateKey(),
    peerSecretFile: undefined,
    platform: {
      ...given.platform,
      tableUrl: platformUrl,
      objectStoreUrl: platformUrl,
      cloudUrl: platformUrl,
      boxListUrl: platformUrl,
      weightStoreUrl: platformUrl,
    },
    boxes: given.boxes.map((box, index) => ({
      ...box,
      callers: `127.0.0.1:${ports[index * 2]}`,
      peers: `127.0.0.1:${ports[index * 2 + 1]}`,
    })),
    workspaces: given.workspaces.map((workspace) => ({
      ...workspace,
      keySha256: hashKey(workspaceKeys.get(workspace.id) ?? ''),
    })),
    operators: [{ id: 'dev-operator', keySha256: hashKey(operatorKey) }],
  };
  return { settings, workspaceKeys, operatorKey };
}

function generateKey(): string {
  return randomBytes(KEY_BYTES).toString('hex');
}
