/**
 * Environment variables of a box in a soak: address of its links, and their ports as pairs
 * `SERVER_PORT:LINK_PORT`, with commas.
 */
export const LINK_HOST_VARIABLE = 'SOAK_LINK_HOST';
export const LINK_PORTS_VARIABLE = 'SOAK_LINK_PORTS';
