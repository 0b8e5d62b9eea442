// Package keys implements a site's private certificate authority for the administration interface: it issues short-lived certificates for
// servers and people, rotates its key without invalidating issued certificates, and revokes certificates.
//
// All state is in a folder of PEM files: ca.pem (the trusted certificates of the authority, the newest first), ca.key, crl.pem (the
// revocation list), and NAME.pem with NAME.key for each certificate that was issued. Each file is replaced as a whole.
//
// Authority writes the folder; only one process should do so at a time. Guard reads it periodically for a server, and closes connections
// whose certificate was revoked or has expired; its methods may be called concurrently. Errors begin with "keys: " and wrap those of the
// files.
package keys
