package org.oleanderturn.store;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import javax.net.ssl.SSLSocketFactory;

/**
 * A TLS socket factory whose methods all fail, as the store is reached without TLS.
 *
 * <p>Stateless and thread safe.
 */
final class DisabledTlsSocketFactory extends SSLSocketFactory {
    private static final DisabledTlsSocketFactory INSTANCE = new DisabledTlsSocketFactory();

    private DisabledTlsSocketFactory() {}

    static DisabledTlsSocketFactory instance() {
        return INSTANCE;
    }

    @Override
    public String[] getDefaultCipherSuites() {
        return new String[0];
    }

    @Override
    public String[] getSupportedCipherSuites() {
        return new String[0];
    }

    @Override
    public Socket createSocket(Socket socket, String host, int port, boolean isAutoClose) throws IOException {
        throw disabled();
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        throw disabled();
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
        throw disabled();
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        throw disabled();
    }

    @Override
    public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort)
            throws IOException {
        throw disabled();
    }

    private static IOException disabled() {
        return new IOException("TLS is disabled for connections to the store");
    }
}
