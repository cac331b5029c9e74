/** The parts of prompts that may crash targets in a run. */
export const DEADLY_PARTS = ['deadly-0', 'deadly-1'] as const;
