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
  /** A document with any of these fields is of this kind; the first matching kind wins. */
  readonly identifyingFields: readonly string[];
  readonly schema: z.ZodType;
}

/** The kinds of document that `settings check` knows. */
export const DOCUMENT_KINDS: readonly DocumentKind[] = [
  {
    name: 'routing',
    title: 'Routing document',
    identifyingFields: ['routes'],
    schema: routingDocumentSchema,
  },
  {
    name: 'router',
    title: 'Settings of a router',
    identifyingFields: ['callersAddress'],
    schema: routerSettingsFileSchema,
  },
  {
    name: 'configuration',
    title: 'Configuration document',
    identifyingFields: ['presets', 'pools', 'teams'],
    schema: configurationDocumentSchema,
  },
  {
    name: 'side',
    title: 'Settings of a side process',
    identifyingFields: ['target'],
    schema: sideSettingsFileSchema,
  },
  {
    name: 'entry',
    title: 'Settings of an entry',
    identifyingFields: ['listen'],
    schema: entrySettingsFileSchema,
  },
  {
    name: 'operator',
    title: "Settings of the operator's command",
    identifyingFields: ['operator'],
    schema: operatorSettingsSchema,
  },
];
