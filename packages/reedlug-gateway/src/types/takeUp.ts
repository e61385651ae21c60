/** How a stream goes on that its caller takes up. */

/** How a stream that is taken up goes on. */
export type TakeUp =
  | {
      kind: 'goOn';
      service: string;
      version: string;
      /** Box or row that knows the start, or what else proves the version. */
      source: string;
      /** Time for which this box has known the start, or a witness its versions, in ms. */
      ageMs: number;
      /** Whether the start is known; otherwise the version follows from what can have served. */
      isStartKnown: boolean;
    }
  /** The version is not known, and several are possible. */
  | { kind: 'unknown' };
