/** Pauses and time limits of the daemon, in ms; simulated boxes keep the same ones. */

/** Pause between ticks: the precision of time limits, against the price of a wake-up. */
export const TICK_MS = 50;
/** Longest wait for the table: its answer takes 4 ms, a slow one 250. */
export const TABLE_TIMEOUT_MS = 1500;
/** Longest wait for the cloud. */
export const CLOUD_TIMEOUT_MS = 1500;
/** Longest wait for the entry of this box in the store. */
export const ANNOUNCE_TIMEOUT_MS = 1500;
/** Longest wait for a connection: a server's full queue drops the opening packet for seconds. */
export const CONNECT_TIMEOUT_MS = 400;
/** Longest wait for a peer's answer: several round trips between zones. */
export const PEER_REQUEST_TIMEOUT_MS = 500;
