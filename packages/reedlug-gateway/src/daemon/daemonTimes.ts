/** Intervals and timeouts of the daemon, in ms; simulated boxes use the same ones. */

/** Interval between ticks: a compromise between the precision of timeouts and the cost of a wake-up. */
export const TICK_MS = 50;
/** Timeout of a table operation; the table usually answers in 4 ms and sometimes takes 250 ms. */
export const TABLE_TIMEOUT_MS = 1500;
/** Timeout of a call to the cloud. */
export const CLOUD_TIMEOUT_MS = 1500;
/** Timeout of writing this box's entry to the store. */
export const ANNOUNCE_TIMEOUT_MS = 1500;
/** Timeout of opening a connection, also through a peer: a server whose accept queue is full drops the opening packet for seconds. */
export const CONNECT_TIMEOUT_MS = 400;
/**
 * Time without bytes after which a request to a peer is abandoned, in ms: the peer may have to
 * encode and compress the configuration first, on a quarter of a core.
 */
export const PEER_IDLE_TIMEOUT_MS = 1000;
