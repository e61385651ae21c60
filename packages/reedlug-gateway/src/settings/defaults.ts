/** Defaults of the gateway. */
import type { CallerLimits } from '../types/configuration.js';
import type { AnswerSettings, LoadSettings, TunnelSettings } from '../types/settings.js';

/** Limits for callers until a configuration is in force; the same values as in the users' configuration. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** Port of the metrics if the settings name none. */
export const DEFAULT_METRICS_PORT = 9464;

/** Limit window in seconds if the settings name none; the same as in the users' deployments. */
export const DEFAULT_LIMIT_WINDOW_SECONDS = 8;

/** Decisions under load if the settings enable none. */
export const DEFAULT_LOAD_SETTINGS: LoadSettings = {
  learnServerSpeeds: false,
  placeBySize: false,
  shareCapacity: false,
  spreadRetries: false,
  reserveLimitUnits: false,
  restartReserve: false,
};

/** Tunnels if the settings say nothing of them; each takes two descriptors. */
export const DEFAULT_TUNNEL_SETTINGS: TunnelSettings = { areUsed: true, maxTunnels: 512 };

/** Bounds on answers if the settings name none: well over the largest that the users send. */
export const DEFAULT_ANSWER_SETTINGS: AnswerSettings = {
  maxEventBytes: 1_048_576,
  maxPlainBytes: 16_777_216,
  maxUnreadBytes: 1_048_576,
};
