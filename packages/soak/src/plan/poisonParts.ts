/** The parts of prompts that may crash targets in a run. */
export const POISON_PARTS = ['poison-0', 'poison-1'] as const;
