/** Eras of a store: it begins a new one each time it comes back from a copy of some seconds before. */

/** The last era that counts; a store would have to come back more than eight thousand times. */
export const LAST_STORE_ERA = 2 ** 13 - 1;
