import { routerSettingsFileSchema, startFromFile, startRouterProcess } from '@parsleyhall/daemon';

// The product's binary has no way to write no lines of decisions, so such a router starts from here.
const createNoLines = () => ({ write: () => undefined, writeDecision: () => undefined });

const [, , , , path = ''] = process.argv;
process.exit(
  await startFromFile({
    path,
    schema: routerSettingsFileSchema,
    start: (options) => startRouterProcess({ ...options, createLogger: createNoLines }),
  }),
);
