import type { z } from 'zod';
import { configurationDocumentSchema } from '@parsleyhall/configuration';
import {
  entrySettingsFileSchema,
  routerSettingsFileSchema,
  routingDocumentSchema,
  sideSettingsFileSchema,
} from '@parsleyhall/daemon';
import { operatorSettingsSchema } from './operatorSettingsSchema.js';

interface DocumentKind {
  readonly name: string;
  /** Heading in the settings reference. */
  readonly title: string;
  /** Fields of which any one tells the kind; the first kind that fits is taken. */
  readonly fields: readonly string[];
  readonly schema: z.ZodType;
}

/** The kinds of document that `settings check` knows. */
export const DOCUMENT_KINDS: readonly DocumentKind[] = [
  {
    name: 'routing',
    title: 'Routing document',
    fields: ['routes'],
    schema: routingDocumentSchema,
  },
  {
    name: 'router',
    title: 'Settings of a router',
    fields: ['callersAddress'],
    schema: routerSettingsFileSchema,
  },
  {
    name: 'configuration',
    title: 'Configuration document',
    fields: ['presets', 'pools', 'teams'],
    schema: configurationDocumentSchema,
  },
  {
    name: 'side',
    title: 'Settings of a side process',
    fields: ['target'],
    schema: sideSettingsFileSchema,
  },
  {
    name: 'entry',
    title: 'Settings of an entry',
    fields: ['listen'],
    schema: entrySettingsFileSchema,
  },
  {
    name: 'operator',
    title: "Settings of the operator's command",
    fields: ['operator'],
    schema: operatorSettingsSchema,
  },
];
