/** Host and port of an address such as `10.1.0.25:8221`. */
export const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
};
