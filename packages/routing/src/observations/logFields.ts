interface Types {
  readonly number: number;
  readonly string: string;
  readonly boolean: boolean;
}
type FieldTypes = Readonly<Record<string, { readonly type: keyof Types }>>;
interface LineKind {
  readonly fields: readonly string[];
  readonly optional: readonly string[];
}
type ValueOf<Fields extends FieldTypes, Name> = Name extends keyof Fields
  ? Types[Fields[Name]['type']]
  : never;

/** The fields of one log event, with the types from the catalogue of fields. */
export type LogFields<Fields extends FieldTypes, Kind extends LineKind> = Readonly<
  { [Name in Kind['fields'][number]]: ValueOf<Fields, Name> } & {
    [Name in Kind['optional'][number]]?: ValueOf<Fields, Name>;
  }
>;
