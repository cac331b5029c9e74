/** Settings of the operator's command. */
export interface OperatorSettings {
  readonly log: { readonly address: string };
  readonly hostList: { readonly address: string };
  /** The operator's name; shown to other operators whose change loses a race against this one's. */
  readonly operator: string;
}
