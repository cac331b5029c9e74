import type { z } from 'zod';
import type { routingDocumentSchema } from './routingDocumentSchema.js';

/** A routing document as read from its file, with the defaults filled in. */
export type RoutingDocument = Readonly<z.output<typeof routingDocumentSchema>>;
