/** How a send ended without a whole answer; `neverSent` means that no byte of the request left. */
export type SendFailure = 'neverSent' | 'broken' | 'malformed' | 'silent';
