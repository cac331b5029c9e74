import { mkdirSync, writeFileSync } from 'node:fs';
import { renderSettingsReference } from '@parsleyhall/operator';
import { format, resolveConfig } from 'prettier';

const FILE = 'docs/SETTINGS.md';

const options = await resolveConfig(FILE);
mkdirSync('docs', { recursive: true });
writeFileSync(FILE, await format(renderSettingsReference(), { ...options, filepath: FILE }));
