import { createBoundedOutput, createLineWriter, startRouter } from '@parsleyhall/router';
import type { LineWriter } from '@parsleyhall/router';
import { plainCodec } from '@parsleyhall/daemon';
import { newMeasuredPlatform } from './newMeasuredPlatform.js';
import { newMeasuredSettings } from './newMeasuredSettings.js';

const STANDARD_OUTPUT = 1;
const [, , targetAddress = '', mode = 'on'] = process.argv;
const settings = newMeasuredSettings();
const noLines: LineWriter = { write: () => undefined, observe: () => undefined };
const output = createBoundedOutput(STANDARD_OUTPUT);
const router = await startRouter({
  settings,
  codec: plainCodec,
  lines: mode === 'on' ? createLineWriter({ ...settings, output }) : noLines,
  platform: newMeasuredPlatform(targetAddress),
});

const tellCost = (): void => {
  const { user, system } = process.cpuUsage();
  process.send?.({ cpuMicroseconds: user + system }, () => {
    process.exit();
  });
};

process.on('message', tellCost);
process.send?.({ address: router.callersAddress });
