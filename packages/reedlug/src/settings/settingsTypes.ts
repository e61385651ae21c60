/** Types of the settings of an entry box, in the structure of the YAML file. */
import type { z } from 'zod';
import type { settingsSchema } from './settingsSchema.js';

/** Validated settings, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
export type BoxSettings = Settings['boxes'][number];
export type EngineSettings = Settings['engines'][number];
export type ServiceServerSettings = Settings['services'][number];
export type WorkspaceSettings = Settings['workspaces'][number];
export type RouteSettings = Settings['routes'][number];
