#!/usr/bin/env node
import { runDemo } from '../dist/demo.js';

const settingsPath = process.argv[2] ?? 'examples/bangkok.yaml';
process.exitCode = await runDemo(settingsPath, (line) => process.stdout.write(`${line}\n`));
