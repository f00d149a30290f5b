package wingspread.admin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the one request of an administrative connection and closes it. */
final class AdminHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Logger LOG = LoggerFactory.getLogger("admin");
    private static final String HEALTH_PATH = "/admin/health";
    private static final String STATISTICS_PATH = "/admin/stats";
    private static final String QUIESCE_PATH = "/admin/quiesce";
    private static final String RESUME_PATH = "/admin/resume";

    private final AdminOperations operations;

    AdminHandler(AdminOperations operations) {
        this.operations = operations;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            answer(ctx, HttpResponseStatus.BAD_REQUEST, reason("the request cannot be read"));
            return;
        }
        String path = request.uri();
        HttpMethod allowed = allowedMethod(path);
        if (allowed == null) {
            answer(ctx, HttpResponseStatus.NOT_FOUND, reason("there is no such path"));
        } else if (!allowed.equals(request.method())) {
            answer(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, reason("this path takes " + allowed));
        } else {
            perform(ctx, path);
        }
    }

    private static HttpMethod allowedMethod(String path) {
        return switch (path) {
            case HEALTH_PATH, STATISTICS_PATH -> HttpMethod.GET;
            case QUIESCE_PATH, RESUME_PATH -> HttpMethod.POST;
            default -> null;
        };
    }

    private void perform(ChannelHandlerContext ctx, String path) {
        switch (path) {
            case HEALTH_PATH -> {
                boolean serving = operations.isServing();
                answer(ctx, serving ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "{\"serving\":" + serving + "}\n");
            }
            case STATISTICS_PATH -> answer(ctx, HttpResponseStatus.OK, operations.statistics().toJson());
            case QUIESCE_PATH -> {
                LOG.info("quiesce requested by {}", ctx.channel().remoteAddress());
                operations.quiesce();
                answer(ctx, HttpResponseStatus.OK, "{\"quiesced\":true}\n");
            }
            default -> {
                LOG.info("resume requested by {}", ctx.channel().remoteAddress());
                operations.resume();
                answer(ctx, HttpResponseStatus.OK, "{\"quiesced\":false}\n");
            }
        }
    }

    private static String reason(String text) {
        return "{\"reason\":\"" + text + "\"}\n";
    }

    private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String json) {
        ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), json);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.warn("administrative connection {} failed", ctx.channel().remoteAddress(), cause);
        }
        ctx.close();
    }
}
