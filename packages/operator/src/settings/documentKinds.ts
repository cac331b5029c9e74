import type { z } from 'zod';
import { configurationDocumentSchema } from '@parsleyhall/configuration';
import { operatorSettingsSchema } from './operatorSettingsSchema.js';

interface DocumentKind {
  readonly name: string;
  /** Fields of which any one tells the kind; the first kind that fits is taken. */
  readonly fields: readonly string[];
  readonly schema: z.ZodType;
}

/** The kinds of document that `settings check` knows. */
export const DOCUMENT_KINDS: readonly DocumentKind[] = [
  {
    name: 'configuration',
    fields: ['presets', 'pools', 'teams'],
    schema: configurationDocumentSchema,
  },
  { name: 'operator', fields: ['operator'], schema: operatorSettingsSchema },
];
