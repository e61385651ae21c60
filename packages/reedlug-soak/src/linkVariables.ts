/**
 * Environment variables of a box in a soak: address of its links, and their ports as pairs
 * `SERVER_PORT:LINK_PORT`, with commas.
 */
export const LINK_HOST_VARIABLE = 'SOAK_LINK_HOST';
export const LINK_PORTS_VARIABLE = 'SOAK_LINK_PORTS';

/** Environment variable with how often bytes are spoiled, as JSON; not set for none. */
export const SPOILING_VARIABLE = 'SOAK_SPOILING';

/**
 * Signals after which a box neither sends nor receives datagrams of other boxes, and does so again. A process
 * that is still starting ignores both.
 */
export const SEPARATE_SIGNAL = 'SIGWINCH';
export const JOIN_SIGNAL = 'SIGURG';

/** Signal on which a box collects its memory. */
export const COLLECT_SIGNAL = 'SIGUSR2';
