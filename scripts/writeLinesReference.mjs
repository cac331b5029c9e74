import { writeFileSync } from 'node:fs';
import { renderLogReference } from '@parsleyhall/router';
import { format, resolveConfig } from 'prettier';

const FILE = 'docs/LINES.md';

const options = await resolveConfig(FILE);
writeFileSync(FILE, await format(renderLogReference(), { ...options, filepath: FILE }));
