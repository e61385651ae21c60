/** Load of the thread that serves a box. */

/** Load since the last tick. */
export interface ThreadLoad {
  /** Share of the time in which the thread did not wait for events. */
  busyShare: number;
  /** How late the tick came, in ms. */
  lateMs: number;
}

/** State of a box with regard to its own load. */
export interface OverloadState {
  /** Time since which the thread has had no time to spare; undefined while it has. */
  busySinceMs: number | undefined;
  /** Time since which new connections are closed unread; undefined while they are accepted. */
  closesSinceMs: number | undefined;
  /** Time at which connections were last accepted again; negative infinity before. */
  lastEndedAtMs: number;
  /** Whether the thread has ever had time to spare. */
  hasBeenIdle: boolean;
}
