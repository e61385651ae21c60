/** Streams as their callers received them, over all attempts. */

/** An event as the caller received it. */
export interface ReceivedEvent {
  id: number;
  /** Software version of the server that produced it. */
  version: string;
}

/** One of a caller's attempts to get a stream. */
export interface StreamTry {
  requestId: string;
  key: string;
  box: number;
  sentAtMs: number;
  endedAtMs: number;
  /** Undefined when the connection gave no response. */
  status: number | undefined;
  events: readonly ReceivedEvent[];
  /** Body of a response other than the stream; empty for none. */
  failure: string;
  /** True when the stream ended as complete, which one that is taken up after its last event does at once. */
  isWhole: boolean;
}

/** A stream over all attempts of its caller. */
export interface CalledStream {
  tries: readonly StreamTry[];
}
