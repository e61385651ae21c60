/** Settings of an entry box as they stand in the YAML file. */
import type { z } from 'zod';
import type { settingsSchema } from './settingsSchema.js';

/** Checked settings, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
export type BoxSettings = Settings['boxes'][number];
export type EngineSettings = Settings['engines'][number];
export type ServiceServerSettings = Settings['services'][number];
export type WorkspaceSettings = Settings['workspaces'][number];
export type RouteSettings = Settings['routes'][number];
