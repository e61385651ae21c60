/** A time in which the servers of a service are brittle: they crash when they have to reject too many requests. */
import type { SceneFaultSpec } from '../scene/scene.js';
import type { VirtualServer } from '../servers/virtualServer.js';

/** A fault that makes the servers of a service brittle. */
export type BrittleFault = Extract<SceneFaultSpec, { kind: 'brittleServers' }>;

/** A time in which the servers of a service are brittle. */
export interface BrittlePeriod {
  fault: BrittleFault;
  fromMs: number;
  toMs: number;
  servers: number;
  crashes: number;
  /** Recent rejections by server, and whether they count for the guarantee. */
  rejections: Map<VirtualServer, { atMs: number; isBound: boolean }[]>;
}
