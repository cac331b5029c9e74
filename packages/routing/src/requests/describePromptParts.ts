import type { TrackedRequest } from './trackedRequest.js';

/** The log field that names the shared parts of a request's prompt; empty if it has none. */
export const describePromptParts = ({
  sharedPromptParts,
}: TrackedRequest): { readonly promptParts?: string } =>
  sharedPromptParts.length === 0 ? {} : { promptParts: sharedPromptParts.join(',') };
