import { getScript } from './getScript.js';
import type { ProcessGroup } from './processGroup.js';

/** Starts stand-ins of one kind in one process and answers their addresses in order. */
export const startStandIns = async (
  group: ProcessGroup,
  standIns: {
    readonly name: string;
    readonly kind: 'log' | 'list' | 'engine' | 'service' | 'relay';
    readonly settings: readonly unknown[];
  },
): Promise<readonly string[]> => {
  const { name, kind, settings } = standIns;
  if (settings.length === 0) {
    return [];
  }
  const script = getScript('@parsleyhall/stand-ins', 'main.js');
  const { listening } = await group.start(name, script, [
    kind,
    '--settings',
    JSON.stringify(settings),
  ]);
  return listening.addresses as readonly string[];
};
