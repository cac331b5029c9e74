/** How a send ended without a complete response; `neverSent` means that no byte of the request was sent. */
export type SendFailure = 'neverSent' | 'broken' | 'malformed' | 'silent';
