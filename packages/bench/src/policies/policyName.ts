/** How requests find their target: the product's way or a plain one. */
export type PolicyName = 'late-binding' | 'round-robin' | 'two-choices' | 'least-loaded-report';
